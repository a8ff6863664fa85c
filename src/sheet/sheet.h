#pragma once

/**
 * Module sheet: compiles the operators' CSV files into configuration documents.
 *
 * Purpose: parses CSV, validates both files and reports every error, compiles
 * a configuration, compares it with the previous one, and reads and writes the
 * directory of configuration documents.
 * Stateless. Depends on config and core.
 *
 * File format: RFC 4180, comma-separated, UTF-8. The first row names the
 * columns, in any order. Row numbers in messages are 1-based and include the
 * header row, as in a spreadsheet. Whitespace around a value is ignored, and
 * empty rows are skipped. A cell must be empty if the record type does not use
 * its column.
 *
 * Sheet file: one record per row; `record` gives the record type:
 *
 *   column           used by                 value
 *   record           all                     model, adapter, rule, service or
 *                                            stop
 *   name             model, adapter, service id without spaces, '@' or '/'
 *   model            adapter                 name of a model record
 *   versions         adapter                 version ids separated by spaces
 *   default_version  adapter                 one of versions
 *   pattern          rule                    adapter name, or a prefix
 *                                            followed by '*'
 *   priority         adapter*, rule*,        urgent or may_wait; default
 *                    service*                urgent
 *   deadline_ms      adapter*, rule*,        1 to 86400000; default 30000
 *                    service*                (adapter), 10000 (service)
 *   repeatable       service                 yes or no; no if a call must run
 *                                            at most once
 *   endpoint         stop                    endpoint in the fleet file
 *   starts_at        stop                    2026-12-04T22:00:00Z
 *   ends_at          stop                    same format, after starts_at
 *   drain_seconds    stop*                   0 to 86400; default 60
 *
 * (* optional.) A rule supplies the priority and deadline of matching adapters
 * that do not set their own. If several rules match, the one with the longest
 * pattern that sets the value applies, so row order does not matter.
 *
 * Fleet file: one endpoint per row: endpoint, vm, kind (engine or
 * plain_service), data_centre, address (IP), agent_port, model (engines),
 * service (plain services), checks_fencing (engines; yes or no, default no).
 */

#include "sheet/compiler.h"
#include "sheet/csv.h"
#include "sheet/differ.h"
#include "sheet/document_directory.h"
#include "sheet/issue.h"
#include "sheet/sheet_reader.h"
