package front

// SpeaksIn is for so long a connection that has said nothing yet is not judged by that.
const SpeaksIn = speaksIn
