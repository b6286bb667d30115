import type { EndpointStats } from '../../packages/standins/EndpointStats';

const CONNECTION_LIMIT = 64;
const ROUNDING = 1e-6;

/** True when an endpoint was ever given more than it holds. */
export const checkOverfill = (record: EndpointStats): boolean => {
  const { peak, capacity } = record;
  return (
    peak.cpus > capacity.cpus + ROUNDING ||
    peak.memoryMb > capacity.memoryMb + ROUNDING ||
    peak.accelerators > capacity.accelerators ||
    peak.slots > capacity.slots ||
    record.peakConnections > CONNECTION_LIMIT
  );
};
