import type { LeaderController } from '../../packages/dispatch/LeaderController';
import { JobReplica } from '../../packages/jobs/JobReplica';
import { ExtendedLeases } from '../../packages/leadership/ExtendedLeases';
import type { LogClient } from '../../packages/store/LogClient';

type LeaderOptions = ConstructorParameters<typeof LeaderController>[0];

/** Creates the options of a leader of epoch 1 without earlier leaders, endpoints or log lines, with some replaced. */
export const createLeaderOptions = (
  client: LogClient,
  fields: Partial<LeaderOptions> = {},
): LeaderOptions => ({
  epoch: 1,
  claimedAt: 0,
  earlierLeasesEndAt: 0,
  extendedLeases: new ExtendedLeases(),
  client,
  statesTopic: 'keyed.states',
  progressTopic: 'keyed.progress',
  endpointsTopic: 'keyed.servers',
  maxAppendBytes: 100_000,
  replica: new JobReplica(),
  updateReplica: () => Promise.resolve(true),
  clock: {
    getNow: () => performance.now(),
    getWallTime: () => Date.now(),
    getMaxElapsedSince: (since) => performance.now() - since,
  },
  random: () => 0.5,
  logger: { info: () => undefined, warn: () => undefined, error: () => undefined },
  policies: {
    placementOrder: 'objective',
    speedChoice: 'kinds',
    hallChoice: 'spread',
    stopChoice: 'ranked',
    turnChoice: 'asked',
  },
  configuration: undefined,
  getCustomerLimit: () => undefined,
  parseEndpoint: () => ({ ok: false, error: 'not used' }),
  createEndpointClient: () => {
    throw new Error('not used');
  },
  isServiceRouted: () => true,
  longestLeaseMs: 10_000,
  listChannels: () => [],
  listOtherBoxes: () => [],
  isBoxLost: () => false,
  ownBox: { cores: 1, linkMbps: 100 },
  listRelayBoxes: () => [],
  formatLeaderRecord: () => 'heartbeat',
  handleLeadershipLost: () => undefined,
  handleLogRecovered: () => undefined,
  recordCount: () => undefined,
  recordTime: () => undefined,
  ...fields,
});
