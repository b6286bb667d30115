import type { Dispatcher } from '../../packages/dispatch/Dispatcher';
import type { EndpointStatus } from '../../packages/dispatch/endpoints/EndpointStatus';
import type { EndpointIncarnation } from '../../packages/jobs/EndpointIncarnation';

/** Creates the status of an endpoint that lists all runs that the dispatcher knows there, as the response to a poll that was sent now. */
export const createRunningStatus = (
  dispatcher: Dispatcher,
  endpoint: EndpointIncarnation,
  now: number,
): EndpointStatus => ({
  endpoint,
  running: [...(dispatcher.getEndpointState(endpoint)?.getRuns() ?? [])].map(({ task, run }) => ({
    task,
    run,
    checkpoint: '',
    percent: 1,
    load: 0,
  })),
  ended: [],
  pollSentAt: now,
});
