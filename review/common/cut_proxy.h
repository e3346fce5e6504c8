/* A loopback proxy in front of a back end, which can be cut off: connections stay open or are
 * accepted, and no byte passes until the cut ends. */
#ifndef REVIEW_CUT_PROXY_H
#define REVIEW_CUT_PROXY_H

#include <stdbool.h>
#include <stdint.h>

typedef struct {
	uint16_t port;   /* where it listens */
	uint16_t target; /* of the back end */
	int listener;
	volatile bool is_cut; /* set at any time */
} cut_proxy_t;

/* Starts the proxy on a free port; false on an error. */
bool cut_proxy_start (cut_proxy_t *p, uint16_t target);

#endif
