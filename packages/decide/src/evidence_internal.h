/* Entries of the evidence store, shared by evidence.c, evidence_delta.c and
 * evidence_list.c. */
#ifndef EVIDENCE_INTERNAL_H
#define EVIDENCE_INTERNAL_H

#include "cs/evidence.h"

struct cs_evidence_vm {
	char *vm;
	cs_vm_report_t newest;  /* from a poll by this daemon or a peer; strings owned; at_ms < 0:
				   none */
	cs_vm_report_t own;     /* from this daemon's last answered poll */
	bool listed;            /* named by the last VM list read */
	bool unlisted;          /* reported again after a silence while it was not listed */
	int64_t refused_ms;     /* last refused poll, by this daemon or a peer; -1: none */
	int64_t refusing_ms;    /* first refused poll since the newest report; -1: none */
	int64_t own_refused_ms; /* last refused poll of this daemon; -1: none */
	bool leaving;           /* marked as leaving in the last VM list read */
	bool in_table;          /* has a slot in the table of VMs polled by this daemon */
	uint32_t index;         /* of that slot */
	bool own_new;           /* answered or refused since the last delta */
	bool own_changed;       /* state, group, fence or model differ from the last delta */
	bool load_changed;      /* running or queued differ from the last delta */
	UT_hash_handle hh;
};

/* Returns the VM's entry; adds an empty one if there is none. */
cs_evidence_vm_t *cs_evidence_get_or_add (cs_evidence_t *e, const char *vm);
/* Replaces a stored report; true if state, group, fence or model differ. */
bool cs_evidence_copy_report (cs_vm_report_t *at, const cs_vm_report_t *report);
/* Frees the strings of a stored report and marks the report as absent. */
void cs_evidence_clear_report (cs_vm_report_t *at);
/* Replaces the VM's newest report by the given one, of this daemon or a peer, if that is newer. */
void cs_evidence_update_newest (const cs_evidence_t *e, cs_evidence_vm_t *entry,
				const cs_vm_report_t *report);
/* Returns the VM's entry, or NULL if there is none. */
cs_evidence_vm_t *cs_evidence_entry (const cs_evidence_t *e, const char *vm);
/* Records a refused poll of this daemon or a peer, sent at at_ms. Does nothing unless the poll is
 * newer than the newest report and the last recorded refusal. */
void cs_evidence_record_refusal (cs_evidence_vm_t *entry, int64_t at_ms);
/* Frees the tables of all peers. */
void cs_evidence_clear_sources (cs_evidence_t *e);
/* Frees the slot of a VM in the table of VMs polled by this daemon. */
void cs_evidence_remove_from_table (cs_evidence_t *e, cs_evidence_vm_t *entry);

#endif
