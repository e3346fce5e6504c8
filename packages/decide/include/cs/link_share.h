/* When a daemon that reads for others may send them a large record. Load: a configuration of 64 KB
 * for 100 daemons, at a reader whose link bears 20 Mbit/s and also carries requests and the list.
 * The record goes out at half the link's rate, so that no answer to a caller waits behind all of
 * it.
 *
 * All times are in milliseconds of the caller's monotonic clock. */
#ifndef CS_LINK_SHARE_H
#define CS_LINK_SHARE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef struct {
	double mbps;      /* of the link; 0: unknown */
	int64_t until_us; /* the share is taken until then */
} cs_link_share_t;

/* True if a record may be sent now. */
bool cs_link_share_is_free (const cs_link_share_t *l, int64_t now_ms);
void cs_link_share_take (cs_link_share_t *l, size_t bytes, int64_t now_ms);

#endif
