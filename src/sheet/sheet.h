#pragma once

/**
 * Module sheet: turns the operators' CSV files into configuration documents.
 *
 * Purpose: CSV parsing, checks that collect every error, compilation into a
 * set, comparison with the previous set, and the directory of documents.
 * Owns no state. Depends on config.
 *
 * Files: RFC 4180 with commas, UTF-8; the first row names the columns, in any
 * order. Row numbers in messages count from 1 and include that first row, as
 * a spreadsheet shows them. Spaces around a value are ignored; an empty row is
 * skipped. A cell of a column that the kind of record does not use stays
 * empty.
 *
 * Sheet, one record a row; `record` says which kind:
 *
 *   column           used by                 value
 *   record           all                     model, adapter, rule, service or
 *                                            stop
 *   name             model, adapter, service id, without space, '@' and '/'
 *   model            adapter                 name of a model record
 *   versions         adapter                 version ids separated by spaces
 *   default_version  adapter                 one of versions
 *   pattern          rule                    adapter name, or its beginning
 *                                            followed by '*'
 *   priority         adapter*, rule*,        urgent or may_wait; default
 *                    service*                urgent
 *   deadline_ms      adapter*, rule*,        1 to 86400000; default 30000
 *                    service*                (adapter), 10000 (service)
 *   repeatable       service                 yes or no; no if a call must run
 *                                            at most once
 *   endpoint         stop                    endpoint of the fleet file
 *   starts_at        stop                    2026-12-04T22:00:00Z
 *   ends_at          stop                    same form, later than starts_at
 *   drain_seconds    stop*                   0 to 86400; default 60
 *
 * (* optional.) A rule gives its priority and deadline to matching adapters
 * that set none. When several rules match, the longest pattern that sets the
 * value applies, so the order of the rows does not matter.
 *
 * Fleet, one endpoint a row: endpoint, vm, kind (engine or plain_service),
 * data_centre, address (IP), agent_port, model (engines), service (plain
 * services), checks_fencing (engines; yes or no, default no).
 */

#include "sheet/compiler.h"
#include "sheet/csv.h"
#include "sheet/differ.h"
#include "sheet/document_directory.h"
#include "sheet/issue.h"
#include "sheet/sheet_reader.h"
