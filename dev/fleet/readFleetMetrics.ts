import type { Fleet } from './Fleet';
import type { FleetMetrics } from './FleetMetrics';

const readValue = (text: string, name: string): number =>
  Number(new RegExp(`^${name} (\\S+)$`, 'm').exec(text)?.[1] ?? 0);

/** Reads the metrics of all entry processes and sums them. */
export const readFleetMetrics = async (fleet: Fleet): Promise<FleetMetrics> => {
  const texts = await Promise.all(fleet.readBoxes().map((box) => fleet.readMetrics(box)));
  const toSum = (name: string) => texts.reduce((sum, text) => sum + readValue(text, name), 0);
  return {
    controlBytes: toSum('stairline_control_bytes_total'),
    cpuSeconds: toSum('stairline_cpu_seconds_total'),
    residentBytes: toSum('stairline_resident_bytes'),
  };
};
