/* ZeroMQ CURVE key pairs with which daemons authenticate each other, as Z85 text. A key file
 * holds the secret key only; the public key is derived from it. */
#ifndef CS_PEER_KEY_H
#define CS_PEER_KEY_H

#include <stdbool.h>

#include "cs/status.h"

enum {
	CS_PEER_KEY_BYTES = 32,
	CS_PEER_KEY_TEXT = 41 /* 40 characters of Z85 and the terminating NUL */
};

typedef struct {
	char secret[CS_PEER_KEY_TEXT];
	char public[CS_PEER_KEY_TEXT];
} cs_peer_key_t;

/* Reads the secret key from the first line of a file and derives the public key. CS_NOT_FOUND
 * if the file cannot be opened; CS_INVALID if it holds no key or if other users (the "other"
 * mode bits) have access to it; CS_UNAVAILABLE if ZeroMQ was built without CURVE. */
cs_status_t cs_peer_key_read (const char *path, cs_peer_key_t *key);
/* Generates a key pair and writes the secret key to a new file of mode 600. CS_CONFLICT if the
 * file cannot be created, for example because it exists; CS_UNAVAILABLE if it cannot be written
 * or ZeroMQ was built without CURVE. */
cs_status_t cs_peer_key_create (const char *path, cs_peer_key_t *key);
/* True if the text is a secret or public key: 40 characters of Z85. */
bool cs_peer_key_is_valid (const char *text);

#endif
