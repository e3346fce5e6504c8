#include <unistd.h>

#include "cs/peer_key.h"
#include "ctl.h"

cs_exit_t
run_key (const options_t *o, FILE *out, FILE *err)
{
	cs_peer_key_t key;
	if (o->n_args != 1) {
		fputs ("cornelspindle: key takes one file\n", err);
		return CS_EXIT_USAGE;
	}
	const char *path = o->args[0];
	cs_status_t status = access (path, F_OK) ? cs_peer_key_create (path, &key)
						 : cs_peer_key_read (path, &key);
	if (status != CS_OK) {
		fprintf (err, "cornelspindle: %s\n", cs_last_error_message ());
		return CS_EXIT_REFUSED;
	}
	fprintf (out, "%s\n", key.public);
	return CS_EXIT_OK;
}
