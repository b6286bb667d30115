/** Sums over all entry processes of a fleet. */
export interface FleetMetrics {
  readonly controlBytes: number;
  readonly cpuSeconds: number;
  readonly residentBytes: number;
}
