#include "ctl.h"

cs_exit_t
run_drain (const options_t *o, FILE *out, FILE *err)
{
	answer_t a;
	if (o->n_args != 1) {
		fputs ("cornelspindle: drain takes the name of one daemon\n", err);
		return CS_EXIT_USAGE;
	}
	json_t *body = json_pack ("{s:s}", "daemon", o->args[0]);
	cs_status_t status = client_call (o, "POST", "/apis/drain", body, o->timeout_s, &a);
	json_decref (body);
	if (status != CS_OK)
		return print_unreachable (o, err);
	cs_exit_t exit = CS_EXIT_OK;
	if (a.status < 200 || a.status > 299)
		exit = print_refusal (&a, err);
	else if (o->json)
		print_json (a.body, out);
	else
		fprintf (out, "%s: draining\n", o->args[0]);
	answer_finish (&a);
	return exit;
}
