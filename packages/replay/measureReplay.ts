import type { PolicyName } from '../scheduler/PolicyName';
import { Replayer } from './Replayer';
import type { ReplayOptions } from './ReplayOptions';
import type { ReplayResult } from './ReplayResult';
import type { Trace } from './Trace';

/** Replays a trace under a policy. The same trace gives the same result on every run. */
export const measureReplay = (
  trace: Trace,
  policy: PolicyName,
  options: ReplayOptions = { comeBacks: 0 },
): ReplayResult => new Replayer(trace, policy, options).createResult();
