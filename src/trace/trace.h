#pragma once

/**
 * Module trace: records the typed events of decision modules as text and
 * replays them into new instances.
 *
 * Turns a failure seen in a running process into a test. Owns no state
 * except that of the open recording. Depends on core, config, membership,
 * routing and admission. Only trace_writer writes output.
 *
 * Format, version 1. A trace is UTF-8 text; one line is one event. Empty lines
 * and lines that start with `#` are ignored.
 *
 *     comfreyspring_trace version=1 subject=router expect=actions base_us=0
 *     0 options data_centre=dc-1 seed=1
 *     1500 request request=r1 model=base adapter=a@v1 deadline_us=900000
 *     1500 action.submit request=r1 attempt=r1.1 endpoint=engine-1
 *     outcome request=r1 result=completed endpoint=engine-1
 *
 * - The first line names the version and the subject, `router` or `scheduler`.
 *   `expect=actions` (the default) requires a replay to produce exactly the
 *   recorded actions; `expect=outcomes` checks the outcomes only. `base_us` is
 *   the monotonic time of the process at the start of the trace.
 * - Every other line is `TIME NAME FIELD=VALUE ...`. TIME is monotonic, in
 *   microseconds since the start of the trace, and never decreases. Fields may
 *   come in any order; one that equals its default may be omitted. A list is
 *   a field that is repeated. `FIELD` alone means `FIELD=true`.
 * - A value that is empty or has a space, a quote, a backslash or a byte
 *   outside printable ASCII is quoted: `"..."` with the escapes \\ \" \n \r \t
 *   and \xHH.
 * - The first event is `options`. Lines named `action.NAME` are the actions
 *   caused by the preceding event.
 * - Fields that end in `_us` are relative to the start of the trace, those in
 *   `_unix_ms` are wall time, those in `_ms` are durations.
 * - `end` marks a recording that reached its event limit.
 *
 * router_format.h and scheduler_format.h list the events and their fields.
 *
 * Outcome lines have no time and are checked after the last event:
 *
 *     outcome request=R result=completed [endpoint=E]
 *     outcome request=R result=failed [outcome=O] [reason=X]
 *     outcome attempts request=R max=N           at most N submits
 *     outcome endpoint=E no_submit [from_us=T]   no submits to E from T on
 *     outcome attempt=A result=dispatched [max=N]
 *     outcome attempt=A result=refused [reason=X] [outcome=not_run]
 *     outcome attempt=A dispatched_before=B
 *     outcome adapter=A@V never_evicted
 *     outcome adapter=A@V loads max=N            at most N loads
 *
 * To extract a trace from a log, match its line format:
 * `grep -E '^([0-9]+ [a-z]|comfreyspring_trace )'`.
 */

#include "trace/recording_directory.h"
#include "trace/recording_router.h"
#include "trace/recording_scheduler.h"
#include "trace/replayer.h"
#include "trace/trace_reader.h"
#include "trace/trace_writer.h"
