#include "cs/peer_key.h"

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>
#include <zmq.h>

static cs_status_t
check_curve_support (void)
{
	if (zmq_has ("curve"))
		return CS_OK;
	return cs_fail (CS_UNAVAILABLE,
			"this build of ZeroMQ has no CURVE support, which peer keys need");
}

bool
cs_peer_key_is_valid (const char *text)
{
	uint8_t key[CS_PEER_KEY_BYTES];
	return strlen (text) == CS_PEER_KEY_TEXT - 1 && zmq_z85_decode (key, text);
}

/* Reads the first line of the file without its line end, truncated to size - 1 bytes. */
static cs_status_t
read_first_line (const char *path, char *line, int size)
{
	struct stat file_info;
	FILE *f = fopen (path, "re");
	if (!f)
		return cs_fail (CS_NOT_FOUND, "%s cannot be read: %s", path, strerror (errno));
	bool is_open_to_others = !fstat (fileno (f), &file_info) && (file_info.st_mode & S_IRWXO);
	bool ok = fgets (line, size, f) != NULL;
	fclose (f);
	if (is_open_to_others)
		return cs_fail (CS_INVALID, "%s is open to all users; set its mode to 600", path);
	if (!ok)
		return cs_fail (CS_INVALID, "%s holds no key", path);
	line[strcspn (line, "\r\n")] = 0;
	return CS_OK;
}

cs_status_t
cs_peer_key_read (const char *path, cs_peer_key_t *key)
{
	char line[CS_PEER_KEY_TEXT + 2];
	cs_status_t status = check_curve_support ();
	if (status == CS_OK)
		status = read_first_line (path, line, sizeof line);
	if (status != CS_OK)
		return status;
	if (!cs_peer_key_is_valid (line))
		return cs_fail (CS_INVALID,
				"%s holds no key of 40 characters of Z85 in its first line", path);
	memcpy (key->secret, line, sizeof key->secret);
	if (zmq_curve_public (key->public, key->secret))
		return cs_fail (CS_INTERNAL, "cannot derive the public key of %s: %s", path,
				zmq_strerror (zmq_errno ()));
	return CS_OK;
}

cs_status_t
cs_peer_key_create (const char *path, cs_peer_key_t *key)
{
	cs_status_t status = check_curve_support ();
	if (status != CS_OK)
		return status;
	if (zmq_curve_keypair (key->public, key->secret))
		return cs_fail (CS_INTERNAL, "cannot generate a CURVE key pair: %s",
				zmq_strerror (zmq_errno ()));
	int fd = open (path, O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, S_IRUSR | S_IWUSR);
	if (fd < 0)
		return cs_fail (CS_CONFLICT, "cannot create key file %s: %s", path,
				strerror (errno));
	bool ok = dprintf (fd, "%s\n", key->secret) == CS_PEER_KEY_TEXT;
	ok &= !close (fd);
	if (ok)
		return CS_OK;
	unlink (path);
	return cs_fail (CS_UNAVAILABLE, "cannot write the secret key to %s", path);
}
