// "rejected" in a comment is no literal.
const char* format = "served=%d turned_away=%d";
