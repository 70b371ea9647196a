use super::*;
