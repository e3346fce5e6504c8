/* Internal functions shared by the files that apply records, and by those of membership and
 * configuration. */
#ifndef CS_LOG_INTERNAL_H
#define CS_LOG_INTERNAL_H

#include "cs/config.h"

/* Appends the packed message to out. */
void cs_pack (const ProtobufCMessage *message, cs_buf_t *out);
/* Returns a deep copy, to be freed with the free_unpacked function of the message's type. */
void *cs_clone (const ProtobufCMessage *message);
/* Compares two uint64_t for qsort and bsearch, in ascending order. */
int cs_u64_cmp (const void *a, const void *b);

/* True if the record may take effect: it is neither a duplicate nor too old. Its sequence number is
 * then recorded. */
bool cs_applier_accept_sequence (cs_applier_t *f, uint64_t offset, const Cs__Record *record);
/* Removes the writers whose last record is more than CS_APPLIER_WINDOW_RECORDS offsets old: copies
 * of their records are rejected as too old anyway. */
void cs_applier_prune_writers (cs_applier_t *f);
void cs_applier_clear_writers (cs_applier_t *f);
cs_applier_writer_t *cs_applier_find_writer (const cs_applier_t *f, uint64_t incarnation);
/* Records the sequence number and offset of the incarnation's last record. */
void cs_applier_set_writer (cs_applier_t *f, uint64_t incarnation, uint64_t sequence,
			    uint64_t offset);

/* Processes a SNAPSHOT record; at: its offset. True if the record completes a snapshot, which is
 * moved to *done and must be freed with cs_applier_assembly_finish (). */
bool cs_applier_assemble_snapshot (cs_applier_t *f, uint64_t at, const Cs__Record *record,
				   cs_applier_assembly_t *done);
void cs_applier_assembly_finish (cs_applier_assembly_t *a);
void cs_applier_clear_assemblies (cs_applier_t *f);
/* Processes a SEGMENT record; at: its offset. */
void cs_applier_add_log_segment (cs_applier_t *f, uint64_t at, const Cs__Segment *m);
/* Stores the bytes of a segment received from a peer. */
void cs_applier_add_peer_segment (cs_applier_t *f, cs_str_t bytes);
/* True if the segment's bytes are stored. */
bool cs_applier_has_segment_bytes (const cs_applier_t *f, uint64_t digest);
/* Moves the segment's bytes to the caller; empty if they are not stored. */
cs_buf_t cs_applier_detach_segment_bytes (cs_applier_t *f, uint64_t digest);
/* Frees the bytes of all segments at the end of the search for a snapshot; their offsets stay. */
void cs_applier_free_segment_bytes (cs_applier_t *f);
/* Removes segments that the log no longer retains. */
void cs_applier_expire_segments (cs_applier_t *f);
void cs_applier_clear_segments (cs_applier_t *f);
/* True if a segment of the state that was seen in the log has expired or is in the oldest 1 /
 * CS_APPLIER_RISK_SHARE of the retained records. */
bool cs_applier_has_expiring_segment (const cs_applier_t *f);
/* Submits the next segment that must be appended, unless the last one is still to be applied;
 * *status is the result. False if there is none to append and the last one has been applied. */
bool cs_applier_submit_segment (cs_applier_t *f, struct cs_writer *w, cs_status_t *status);
/* Replaces the complete state by one that includes all records below the offset. Returns
 * CS_CONFLICT and leaves the state unchanged if a segment's bytes are not stored; CS_INVALID if the
 * bytes cannot be decoded. After an error of a state machine's restore or add_segment the state is
 * unusable and needs_snapshot is set. */
cs_status_t cs_applier_restore (cs_applier_t *f, uint64_t offset, cs_str_t bytes);

/* Return the peer's entry. If there is none, find returns NULL and ensure adds one. */
cs_peer_t *cs_detector_find_peer (const cs_detector_t *h, uint64_t incarnation);
cs_peer_t *cs_detector_ensure_peer (cs_detector_t *h, uint64_t incarnation, int64_t now_ms);

/* Returns "KIND/NAME", to be freed by the caller. */
char *cs_resource_key (cs_kind_t kind, cs_str_t name);
/* The resource in force; NULL if there is none. */
cs_resource_t *cs_config_find_resource (const cs_config_t *c, cs_kind_t kind, cs_str_t name);
/* Adds or replaces a resource by a copy of the given one. version: offset of the ACTIVATE. */
void cs_config_put_resource (cs_config_t *c, cs_kind_t kind, uint64_t version,
			     const char *change_id, const Cs__Resource *resource);
/* Removes and frees a resource. */
void cs_config_remove_resource (cs_config_t *c, cs_resource_t *r);
void cs_proposal_free (cs_proposal_t *p);
/* Returns an open proposal with a copy of the PROPOSE and without required daemons; to be freed
 * with cs_proposal_free (). */
cs_proposal_t *cs_proposal_new (uint64_t offset, uint64_t proposer, const Cs__Propose *propose);
/* Adds a proposal with an offset above those of all others; takes ownership. */
void cs_config_add_proposal (cs_config_t *c, cs_proposal_t *p);
/* Removes all resources, proposals and events. */
void cs_config_reset (cs_config_t *c);
/* Adds an event, with copies of the strings; drops the oldest one beyond CS_CONFIG_EVENTS_MAX. */
void cs_config_add_event (cs_config_t *c, uint64_t offset, cs_event_kind_t kind,
			  const char *change_id, const char *text);
/* Removes all events; those at offsets below `from` count as no longer retained. */
void cs_config_clear_events (cs_config_t *c, uint64_t from);
/* Appends the state as a packed ConfigState. */
void cs_config_snapshot (const void *state, cs_buf_t *out);
/* Restores a state that includes all records below the offset, into a state that has been reset.
 * Returns CS_INVALID if the bytes cannot be decoded. */
cs_status_t cs_config_restore (void *state, uint64_t offset, cs_str_t bytes);
/* True if the i-th required daemon is still joined. */
bool cs_proposal_is_required (const cs_config_t *c, const cs_proposal_t *p, size_t i);
/* True if the i-th required daemon is known to have staged the proposal. */
bool cs_proposal_has_staged (const cs_proposal_t *p, size_t i);

#endif
