import { deployments } from '../traces/deployments';
import type { TraceShape } from '../traces/TraceShape';

type DeploymentName = keyof typeof deployments;

interface LoadOptions {
  readonly deployment: DeploymentName;
  /** Offered slot-seconds a second over the slots there are. */
  readonly load: number;
  readonly lengthMs: number;
  readonly entries: number;
}

interface MixPart {
  readonly row: string;
  /** Part of the load, by slot-seconds. */
  readonly part: number;
  readonly meanRunMs: number;
  readonly deadlineMs: number;
}

const MIXES: Readonly<Record<DeploymentName, readonly MixPart[]>> = {
  almaty: [
    { row: 'plan-refresh', part: 0.5, meanRunMs: 400, deadlineMs: 3000 },
    { row: 'course-build', part: 0.2, meanRunMs: 4000, deadlineMs: 60_000 },
    { row: 'video-render', part: 0.3, meanRunMs: 15_000, deadlineMs: 1_800_000 },
  ],
  gangeticEast: [
    { row: 'tile-proof', part: 0.2, meanRunMs: 300, deadlineMs: 5000 },
    { row: 'sheet-stitch', part: 0.8, meanRunMs: 20_000, deadlineMs: 600_000 },
  ],
};

/** Creates a steady load of a deployment's mix at a part of its capacity. */
export const createLoadShape = (options: LoadOptions): TraceShape => {
  const deployment = deployments[options.deployment];
  const totalSlots = deployment.workers * deployment.capacity.slots;
  const arrivals = MIXES[options.deployment].map((mix) => {
    const slots = deployment.rows.find((row) => row.name === mix.row)?.slots ?? 1;
    const rate = (options.load * mix.part * totalSlots * 1000) / (slots * mix.meanRunMs);
    const { row, meanRunMs, deadlineMs } = mix;
    return { row, meanRunMs, deadlineMs, ratePerSecond: () => rate, maxRatePerSecond: rate };
  });
  return {
    name: `${options.deployment} at ${options.load}`,
    about: 'steady load',
    seed: 21,
    lengthMs: options.lengthMs,
    entries: options.entries,
    ...deployment,
    arrivals,
  };
};
