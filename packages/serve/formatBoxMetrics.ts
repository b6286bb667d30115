import type { MachineClock } from '../common/MachineClock';
import { formatCustomerMetrics } from '../customers/formatCustomerMetrics';
import type { Dispatcher } from '../dispatch/Dispatcher';
import type { QueueRouter } from '../gateway/QueueRouter';
import type { JobReplica } from '../jobs/JobReplica';
import type { LoadView } from '../load/LoadView';
import type { LogWriter } from '../store/LogWriter';
import { computeCustomerMetrics } from './computeCustomerMetrics';
import type { ServeMetrics } from './ServeMetrics';
import type { TopicFollowers } from './TopicFollowers';

interface BoxMetricsInput {
  readonly metrics: ServeMetrics;
  /** Dispatcher of this process; undefined while it does not lead. */
  readonly dispatcher: Dispatcher | undefined;
  readonly router: QueueRouter;
  readonly writer: LogWriter;
  readonly followers: TopicFollowers;
  readonly replica: JobReplica;
  readonly loadView: LoadView;
  /** Number of other boxes that have not responded to the newest request. */
  readonly lostBoxes: number;
  /** Epoch of the newest known leader; undefined while none is known. */
  readonly epoch: number | undefined;
  readonly clock: MachineClock;
}

/** Returns the gauge of the age of the newest load digest in milliseconds; none before the first digest. */
const getLoadGauges = ({ loadView, epoch, clock }: BoxMetricsInput): Readonly<Record<string, number>> => {
  const ageMs = loadView.getDigestAgeMs({ now: clock.getNow(), wallMs: clock.getWallTime(), epoch });
  return ageMs === undefined ? {} : { loadDigestAgeMs: Math.round(ageMs) };
};

/** Formats the metrics of each customer; empty while this process does not lead. */
const formatCustomers = ({ dispatcher, router, clock }: BoxMetricsInput): string =>
  dispatcher === undefined
    ? ''
    : formatCustomerMetrics(computeCustomerMetrics(router.getCustomers(), dispatcher, clock.getWallTime()));

/** Formats all metrics of a box for a metrics collector: counters, durations, gauges, and those of customers while it leads. */
export const formatBoxMetrics = (input: BoxMetricsInput): string => {
  const { metrics, dispatcher, router, writer, followers, replica } = input;
  const speeds = dispatcher?.getEndpointSpeeds().countByClass();
  const text = metrics.formatText({
    leading: dispatcher === undefined ? 0 : 1,
    liveJobs: dispatcher?.countJobs() ?? 0,
    slowEndpoints: speeds?.slow ?? 0,
    fastEndpoints: speeds?.fast ?? 0,
    configurationVersion: router.getConfiguration()?.version ?? 0,
    logWriteFailingMs: Math.round(writer.getOutageMs()),
    readingOperatorTopic: Number(followers.operator.isUpToDate()),
    readingStatesTopic: Number(followers.states.isUpToDate()),
    readingJobsTopic: Number(followers.jobs.isUpToDate()),
    knownJobs: replica.countJobs(),
    lostBoxes: input.lostBoxes,
    ...getLoadGauges(input),
  });
  return text + formatCustomers(input);
};
