import type { Row } from '../table/Row';
import type { TableState } from '../table/TableState';
import type { EntryStatus } from './EntryStatus';

const ROW_COLUMNS: readonly (keyof Row)[] = [
  'name',
  'class',
  'team',
  'weight',
  'priority',
  'cpus',
  'memoryMb',
  'accelerators',
  'slots',
  'maxRunning',
  'maxQueued',
  'maxSharePercent',
  'deadlineMs',
  'expectedMs',
  'timeLimitMs',
  'repeatable',
  'placement',
  'preemptible',
  'replicas',
];

const toSafe = (value: unknown): string =>
  String(value).replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('"', '&quot;');

const formatTable = (heads: readonly string[], lines: readonly (readonly unknown[])[]): string => {
  const head = heads.map((name) => `<th>${toSafe(name)}</th>`).join('');
  const body = lines
    .map((line) => `<tr>${line.map((cell) => `<td>${toSafe(cell)}</td>`).join('')}</tr>`)
    .join('\n');
  return `<table><tr>${head}</tr>\n${body}</table>`;
};

/** Formats the operators' page: this process, its rows and the table in force. It needs no script and no other file. */
export const formatOperatorPage = (status: EntryStatus, table: TableState): string => {
  const facts: readonly (readonly unknown[])[] = [
    ['process', status.process],
    ['hall', status.hall],
    ['ready', status.isReady],
    ['view', `${status.view?.number ?? 0}: ${status.view?.members.join(', ') ?? ''}`],
    ['may place', status.hasEvidence],
    ['log answers', status.hasLog],
    ['table offset', `${status.table.offset}${status.table.isShared ? '' : ' (from the settings alone)'}`],
    ['workers', `${status.workers.placeable} placeable of ${status.workers.known}`],
  ];
  const rows = status.rows.map((row) => [row.row, row.waiting, row.running, row.room, row.runMs]);
  const sheet = [...table.rows.values()].map((row) => ROW_COLUMNS.map((column) => row[column]));
  return `<!doctype html><html lang="en"><head><meta charset="utf-8"><meta http-equiv="refresh" content="5">
<title>stairline ${toSafe(status.box)}</title>
<style>body{font:14px sans-serif;margin:2em}table{border-collapse:collapse;margin:1em 0}td,th{border:1px solid #bbb;padding:2px 8px;text-align:left}</style>
</head><body><h1>${toSafe(status.box)}</h1>
${formatTable(['fact', 'value'], facts)}
<h2>Rows here</h2>${formatTable(['row', 'waiting', 'running', 'room', 'run ms'], rows)}
<h2>Table</h2>${formatTable(ROW_COLUMNS, sheet)}
</body></html>`;
};
