/**
 * What the dispatcher counts for the metrics.
 * - `lifeEnds`: lives of endpoints that ended.
 * - `runsLost`: runs that ended with the life of their endpoint.
 * - `runsLapsed`: runs whose lease ran out on an endpoint that was silent.
 */
export type DispatchCount = 'lifeEnds' | 'runsLost' | 'runsLapsed';
