import type { Fleet } from '../fleet/Fleet';

const LINE = /^stairline_wait_seconds\{row="([^"]+)",quantile="(0\.5|0\.99)"\} (\S+)$/gm;
const MS = 1000;

/** Reads the waiting times of some boxes from their metrics: one line of cells per box and row, in milliseconds. */
export const readWaits = async (
  fleet: Fleet,
  boxes: readonly string[],
): Promise<readonly (readonly unknown[])[]> => {
  const lines: (readonly unknown[])[] = [];
  for (const box of boxes) {
    const waits = new Map<string, string[]>();
    for (const [, row = '', , seconds] of (await fleet.readMetrics(box)).matchAll(LINE)) {
      waits.set(row, [...(waits.get(row) ?? []), (Number(seconds) * MS).toFixed(1)]);
    }
    for (const [row, [median, high]] of waits) {
      lines.push([box, row, median, high]);
    }
  }
  return lines;
};
