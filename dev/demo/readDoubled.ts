import type { EndpointStats } from '../../packages/standins/EndpointStats';

/** Requests of some rows that were started more than once over all endpoints. */
export const readDoubled = (
  records: readonly EndpointStats[],
  rows: readonly string[],
): readonly string[] => {
  const counts = new Map<string, number>();
  for (const record of records) {
    for (const [request, count] of Object.entries(record.starts)) {
      counts.set(request, (counts.get(request) ?? 0) + count);
    }
  }
  return [...counts]
    .filter(([request, count]) => count > 1 && rows.some((row) => request.startsWith(`${row} `)))
    .map(([request]) => request);
};
