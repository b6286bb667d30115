import { formatColumns } from '../cli/formatColumns';
import type { ReplayResult } from './ReplayResult';

/** Formats the figures of a replay for people. */
export const formatReplay = (result: ReplayResult): string => {
  const heads = ['row', 'requests', 'placed', 'refused', 'late', 'wait p50 ms', 'p99 ms', 'max ms'];
  const lines = result.rows.map((row) => [
    row.row,
    row.requests,
    row.placed,
    row.refused,
    row.late,
    row.waitP50Ms,
    row.waitP99Ms,
    row.waitMaxMs,
  ]);
  const { cpus, memoryMb, accelerators, slots } = result.packing;
  return [
    formatColumns(heads, lines),
    `policy ${result.policy}: ${result.placements} placements, ${result.preemptions} preemptions, ${result.refusals} refusals, ${result.sentOn} sent on`,
    `in use while work waited (${result.waitingMs} ms): processors ${cpus}, memory ${memoryMb}, accelerators ${accelerators}, slots ${slots}`,
    `workers in use while anything ran: ${result.workersInUse}`,
    `digest ${result.digest}`,
  ].join('\n');
};
