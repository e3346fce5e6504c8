/* Stand-in for the platform, used by tests: log service, VM list and weight store, with fault
 * injection through POST /fault. */
#ifndef STANDIN_PLATFORM_H
#define STANDIN_PLATFORM_H

#include "server.h"

typedef struct {
	uint64_t retention_records;        /* records retained per stream */
	uint64_t appends_per_second;       /* 0: no limit */
	uint64_t weights_bytes_per_second; /* total of all downloads; 0: no limit */
	uint64_t weights_concurrent;       /* concurrent downloads; 0: no limit */
	int64_t vm_list_lag_ms;            /* delay before a change of the VM list is visible */
} platform_options_t;

typedef enum {
	LOG_OK,
	LOG_DOWN,           /* responds with 503 */
	LOG_SLOW,           /* delays each call by delay_ms */
	LOG_LOSE_RESPONSES, /* appends, then closes the connection without a response */
	LOG_LOSE_NEXT,      /* the same for the next append, then LOG_OK */
	LOG_OVER_RATE       /* refuses appends with 429; reads are not affected */
} log_fault_t;

typedef enum {
	VMS_OK,
	VMS_DOWN,  /* responds with 503 */
	VMS_FROZEN /* returns the list as it was when the fault was set */
} vms_fault_t;

extern platform_options_t options;

/* Log service: /topics/... */
enum MHD_Result log_handle (server_request_t *r);
/* Holds a request on a silenced connection until its sender closes it; counts the reads. */
enum MHD_Result log_hold_silent (server_request_t *r);
void log_set_fault (log_fault_t fault, int64_t delay_ms);
json_t *log_stats (void);

/* VM list: /vms... */
/* Sets the initial list; takes ownership. */
void vms_init (json_t *list);
enum MHD_Result vms_handle (server_request_t *r);
void vms_set_fault (vms_fault_t fault);
json_t *vms_stats (void);

/* Weight store: /weights/MODEL/VERSION?bytes=N */
enum MHD_Result weights_handle (server_request_t *r);
void weights_set_down (bool down);
json_t *weights_stats (void);

/* Fault injection: POST /fault */
enum MHD_Result faults_handle (server_request_t *r);

#endif
