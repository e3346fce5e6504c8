/* A state machine that collects names, with an applier and a writer, for tests of how records are
 * applied. */
#ifndef SUPPORT_NAMES_H
#define SUPPORT_NAMES_H

#include "support_log.h"

/* State machine: the VM names of the VM_SEEN records applied, in order, and their number. */
typedef struct {
	cs_buf_t names; /* each followed by ";" */
	uint64_t n;
} support_names_t;

/* One daemon: an applier and its writer. */
typedef struct {
	support_names_t names;
	cs_applier_t applier;
	cs_writer_t writer;
} support_node_t;

/* Initializes a node that follows stream "zone-a"; disabled is a set of CS_FOLD_NO_* flags. */
void support_node_init (support_node_t *d, uint64_t incarnation, unsigned disabled);
void support_node_finish (support_node_t *d);
/* Submits a record with the name and returns its ticket. */
uint64_t support_node_submit (support_node_t *d, const char *vm);
/* The names applied, each followed by ";"; owned by d. */
const char *support_node_names (const support_node_t *d);
/* Appends a record to stream "zone-a" as if written by the given incarnation. */
void support_names_put (support_log_t *log, uint64_t incarnation, uint64_t sequence,
			uint64_t seen_at, const char *vm);

#endif
