import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import { endpointIncarnations } from '../../jobs/endpointIncarnations';
import type { DispatchEffect } from '../DispatchEffect';
import type { AdviceChannel } from './AdviceChannel';

/**
 * Sends a request over a channel and returns the tickets of its response; undefined when there was none. The service knows endpoints by
 * their ids; tickets are kept by incarnation.
 */
export const sendAdviceRequest = async (
  { client }: AdviceChannel,
  { step, candidates }: Extract<DispatchEffect, { kind: 'advise' }>,
  timeoutMs: number,
): Promise<ReadonlyMap<EndpointIncarnation, string> | undefined> => {
  const incarnations = new Map(
    candidates.map((incarnation) => [endpointIncarnations.toEndpointId(incarnation), incarnation]),
  );
  const tickets = await client.requestAdvice(step, [...incarnations.keys()], timeoutMs);
  return (
    tickets &&
    new Map(
      [...tickets].flatMap(([id, ticket]) => {
        const incarnation = incarnations.get(id);
        return incarnation === undefined ? [] : [[incarnation, ticket] as const];
      }),
    )
  );
};
