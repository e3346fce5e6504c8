/* What the files of folding, membership and configuration share. */
#ifndef CS_LOG_INTERNAL_H
#define CS_LOG_INTERNAL_H

#include "cs/config.h"

/* Appends the packed message. */
void cs_pack (const ProtobufCMessage *message, cs_buf_t *out);
/* A deep copy; freed by the message's own free_unpacked. */
void *cs_clone (const ProtobufCMessage *message);
/* Orders uint64_t for qsort and bsearch. */
int cs_u64_cmp (const void *a, const void *b);

/* True if the record may take effect: not a repeat and not too old. Notes its sequence. */
bool cs_fold_admit (cs_fold_t *f, uint64_t offset, const Cs__Record *record);
void cs_fold_prune_writers (cs_fold_t *f);
void cs_fold_clear_writers (cs_fold_t *f);
cs_fold_writer_t *cs_fold_find_writer (const cs_fold_t *f, uint64_t incarnation);
void cs_fold_note_writer (cs_fold_t *f, uint64_t incarnation, uint64_t sequence, uint64_t offset);

/* Takes in one SNAPSHOT record; true if it completes a snapshot, which is then at *done. */
bool cs_fold_assemble (cs_fold_t *f, uint64_t at, const Cs__Record *record,
		       cs_fold_assembly_t *done);
void cs_fold_assembly_finish (cs_fold_assembly_t *a);
void cs_fold_clear_assemblies (cs_fold_t *f);
/* Takes in one SEGMENT record. */
void cs_fold_note_segment (cs_fold_t *f, uint64_t at, const Cs__Segment *m);
/* Takes in one from a peer. */
void cs_fold_give_segment (cs_fold_t *f, cs_str_t bytes);
/* True if its bytes are here. */
bool cs_fold_has_segment (const cs_fold_t *f, uint64_t digest);
/* Takes its bytes away; none if they are not here. */
cs_buf_t cs_fold_take_segment (cs_fold_t *f, uint64_t digest);
/* Ends the search for a snapshot: only where segments stand is kept. */
void cs_fold_drop_segment_bytes (cs_fold_t *f);
void cs_fold_expire_segments (cs_fold_t *f);
void cs_fold_clear_segments (cs_fold_t *f);
/* True if a segment of the state is in the oldest quarter of what the log keeps. */
bool cs_fold_segments_at_risk (const cs_fold_t *f);
/* Submits a segment that the log lacks; false if it has them all, the last one folded. */
bool cs_fold_submit_segment (cs_fold_t *f, struct cs_writer *w, cs_status_t *status);
/* Replaces the whole state by that folded below the offset; CS_CONFLICT changes nothing: a segment
 * is not here. */
cs_status_t cs_fold_restore (cs_fold_t *f, uint64_t offset, cs_str_t bytes);

/* The peer's entry, NULL if there is none; ensure makes it. */
cs_peer_t *cs_hearing_find (const cs_hearing_t *h, uint64_t incarnation);
cs_peer_t *cs_hearing_ensure (cs_hearing_t *h, uint64_t incarnation, int64_t now_ms);

/* KIND/NAME on the heap. */
char *cs_resource_key (cs_kind_t kind, cs_str_t name);
cs_resource_t *cs_config_find_resource (const cs_config_t *c, cs_kind_t kind, cs_str_t name);
void cs_config_put_resource (cs_config_t *c, cs_kind_t kind, uint64_t version,
			     const char *change_id, const Cs__Resource *resource);
void cs_config_remove_resource (cs_config_t *c, cs_resource_t *r);
void cs_proposal_free (cs_proposal_t *p);
cs_proposal_t *cs_proposal_new (uint64_t offset, uint64_t proposer, const Cs__Propose *propose);
void cs_config_add_proposal (cs_config_t *c, cs_proposal_t *p);
void cs_config_reset (cs_config_t *c);
void cs_config_add_event (cs_config_t *c, uint64_t offset, cs_event_kind_t kind,
			  const char *change_id, const char *text);
void cs_config_clear_events (cs_config_t *c, uint64_t from);
void cs_config_snapshot (const void *state, cs_buf_t *out);
cs_status_t cs_config_restore (void *state, uint64_t offset, cs_str_t bytes);
/* True if the i-th required daemon is still joined. */
bool cs_proposal_is_required (const cs_config_t *c, const cs_proposal_t *p, size_t i);
bool cs_proposal_has_staged (const cs_proposal_t *p, size_t i);

#endif
