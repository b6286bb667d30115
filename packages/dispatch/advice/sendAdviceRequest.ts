import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import { endpointIncarnations } from '../../jobs/endpointIncarnations';
import type { DispatchEffect } from '../DispatchEffect';
import type { AdviceChannel } from './AdviceChannel';

/**
 * Sends a request over a channel. Resolves to the tickets of its response by incarnation, for which the service's endpoint ids are
 * translated; to undefined when there was no response.
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
