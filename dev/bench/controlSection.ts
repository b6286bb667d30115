import { formatColumns } from '../../packages/cli/formatColumns';
import { waitForDelay } from '../../packages/common/waitForDelay';
import { demoRows } from '../demo/demoRows';
import { Fleet } from '../fleet/Fleet';
import { readFleetMetrics } from '../fleet/readFleetMetrics';
import type { BenchSection } from './BenchSection';

interface ControlCase {
  readonly halls: number;
  readonly entriesPerHall: number;
  readonly callsPerSecond: number;
}

const CASES: readonly ControlCase[] = [
  { halls: 1, entriesPerHall: 2, callsPerSecond: 0 },
  { halls: 1, entriesPerHall: 2, callsPerSecond: 400 },
  { halls: 3, entriesPerHall: 2, callsPerSecond: 0 },
  { halls: 3, entriesPerHall: 2, callsPerSecond: 400 },
  { halls: 8, entriesPerHall: 3, callsPerSecond: 0 },
  { halls: 22, entriesPerHall: 3, callsPerSecond: 0 },
];
const MEASURE_MS = 10_000;
const WORKERS_PER_HALL = 3;

const startCalls = async (fleet: Fleet, perSecond: number, signal: AbortSignal): Promise<void> => {
  const boxes = fleet.readBoxes();
  for (let number = 0; perSecond > 0 && !signal.aborted; number += 1) {
    void fleet.sendCall(boxes[number % boxes.length] ?? '', 'plan-refresh', { headers: { 'x-run-ms': '5' } });
    await waitForDelay(1000 / perSecond);
  }
};

const measureCase = async (one: ControlCase): Promise<readonly unknown[]> => {
  const fleet = await Fleet.create({
    halls: Array.from({ length: one.halls }, (_, index) => ({
      name: `hall-${index + 1}`,
      entries: one.entriesPerHall,
      workers: WORKERS_PER_HALL,
    })),
    capacity: { cpus: 16, memoryMb: 32_768, accelerators: 0, slots: 8 },
    rows: demoRows,
  });
  try {
    await fleet.start();
    const stopping = new AbortController();
    const calls = startCalls(fleet, one.callsPerSecond, stopping.signal);
    await waitForDelay(1000);
    const before = await readFleetMetrics(fleet);
    const platformBefore = await fleet.readPlatformCounts();
    await waitForDelay(MEASURE_MS);
    const after = await readFleetMetrics(fleet);
    const platformAfter = await fleet.readPlatformCounts();
    stopping.abort();
    await calls;
    const count = one.halls * one.entriesPerHall;
    const seconds = MEASURE_MS / 1000;
    return [
      count,
      one.halls,
      one.callsPerSecond,
      Math.round((after.controlBytes - before.controlBytes) / count / seconds),
      ((100 * (after.cpuSeconds - before.cpuSeconds)) / count / seconds).toFixed(2),
      Math.round(after.residentBytes / count / 1_048_576),
      ((platformAfter.reads - platformBefore.reads) / seconds).toFixed(1),
      ((platformAfter.appends - platformBefore.appends) / seconds).toFixed(2),
    ];
  } finally {
    await fleet.stop();
  }
};

/** Control cost per entry process, with real processes. */
export const controlSection: BenchSection = {
  name: 'control',
  about: 'real entry processes with default times, per process; bytes to and from peers and platform',
  measure: async () => {
    const lines: (readonly unknown[])[] = [];
    for (const one of CASES) {
      lines.push(await measureCase(one));
    }
    const heads = [
      'entry processes',
      'halls',
      'calls/s',
      'control bytes/s',
      'cpu %',
      'resident MB',
      'log reads/s in all',
      'appends/s in all',
    ];
    return formatColumns(heads, lines);
  },
};
