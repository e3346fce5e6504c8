/* Types shared by the sources of the poison module: state, evidence, placement, snapshot. */
#ifndef CS_POISON_IMPL_H
#define CS_POISON_IMPL_H

#include <uthash.h>

#include "cs/poison.h"

/* An applied crash. */
struct cs_poison_crash {
	char *group;
	uint64_t fence;
	bool explained;    /* a suspect of an earlier crash was running, and was refused */
	uint32_t suspects; /* ranks assigned so far */
	struct cs_poison_crash *prev, *next;
};

/* A fingerprint that is suspect or refused. */
struct cs_poison_entry {
	uint64_t fingerprint;
	bool refused;
	bool cleared; /* has completed; kept, as removing its rank would move others to other groups
		       */
	char *group;  /* of the crash that made it suspect; "" if hinted */
	uint64_t fence;
	uint32_t rank;           /* index among the suspects of that crash */
	uint64_t order;          /* increases with each new suspect or refusal */
	int64_t until_ms;        /* expiry if known from heartbeats only; 0: applied */
	int64_t hinted_until_ms; /* if cleared: until when heartbeats make it suspect again */
	UT_hash_handle hh;
};

/* A request of this daemon in progress. */
struct cs_poison_running {
	uint64_t id;
	uint64_t fingerprint;
	char *group;
	uint64_t fence;
	UT_hash_handle hh;
};

/* Evidence on a group that may have crashed. */
struct cs_poison_broken_group {
	char *group;
	uint64_t fence;
	uint64_t fingerprints[CS_POISON_MAX_FINGERPRINTS]; /* requests whose connection broke */
	uint32_t n_fingerprints;
	int64_t first_ms;
	int64_t dead_ms;     /* when a member was first found dead; 0: none */
	uint32_t n_reported; /* fingerprints already reported */
	struct cs_poison_broken_group *prev, *next;
};

/* A group that served within CS_POISON_EVIDENCE_MS. */
struct cs_poison_recent_group {
	char *name;
	int64_t at_ms; /* when it last served */
	UT_hash_handle hh;
};

bool cs_poison_is_from_crash (const cs_poison_entry_t *entry, const char *group, uint64_t fence);
cs_poison_entry_t *cs_poison_find_entry (const cs_poison_t *p, uint64_t fingerprint);
cs_poison_entry_t *cs_poison_add_entry (cs_poison_t *p, uint64_t fingerprint, const char *group,
					uint64_t fence);
void cs_poison_remove_entry (cs_poison_t *p, cs_poison_entry_t *entry);
cs_poison_crash_t *cs_poison_add_crash (cs_poison_t *p, const char *group, uint64_t fence);
void cs_poison_clear_applied (cs_poison_t *p);
void cs_poison_clear_evidence (cs_poison_t *p);
void cs_poison_clear_recent_groups (cs_poison_t *p);

#endif
