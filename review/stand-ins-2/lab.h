/* A daemon as a process, with stand-ins for the platform's store, one back end and its callers. */
#ifndef REVIEW_LAB_H
#define REVIEW_LAB_H

#include <stdio.h>
#include <sys/types.h>

#include "../../platform/soak/store.h"
#include "../../platform/soak/wire.h"

enum {
	MAX_ARRIVALS = 512,
	STABILITY_MS = 3000 /* StabilityWindowMs */
};

/* A request that the back end has run. */
typedef struct {
	char id[40];
	cs_buf_t head; /* as it came */
	cs_buf_t body;
} arrival_t;

typedef struct {
	soak_store_t *store;
	uint16_t store_port;
	char directory[64];
	char ip[32];
	pid_t daemon;
	FILE *record;
	uint16_t back_end_port;
	const char
		*foreign_key; /* under which another writer lists the back end; NULL: none does */
	int n_answer_lines;   /* header lines of the back end's answers, beside the usual ones */
	arrival_t arrivals[MAX_ARRIVALS];
	int n_arrivals;
} lab_t;

/* Starts all, and waits until the daemon has been ready for STABILITY_MS. config is that of the
 * operator; its service is "plain". False: the case cannot run. */
bool lab_start (lab_t *lab, const char *program, const char *record, const char *config);
void lab_finish (lab_t *lab);
/* A new connection to the daemon. */
connection_t lab_connect (const lab_t *lab, uint32_t timeout_ms);
/* Sends a GET; lines are header lines beside Host, Request-Attempt and Deadline-Remaining. */
bool lab_send (lab_t *lab, connection_t *c, const char *id, const char *target, const char *lines,
	       int deadline_ms);
/* Sends a POST with the body. */
bool lab_post (lab_t *lab, connection_t *c, const char *id, const char *target, const char *lines,
	       int deadline_ms, const char *body);
/* The request with the id as the back end ran it; NULL: it did not. */
const arrival_t *lab_find (lab_t *lab, const char *id);
/* True once bytes of an answer, or the end of the connection, have come within ms. */
bool lab_wait (const connection_t *c, int64_t ms);
void lab_close (connection_t *c);

#endif
