import type { EndpointIncarnation } from '../../jobs/EndpointIncarnation';
import { endpointIncarnations } from '../../jobs/endpointIncarnations';
import type { DispatchEffect } from '../DispatchEffect';
import type { AdviceChannel } from './AdviceChannel';

/** Asks a question through one box. The service knows endpoints by their ids, tickets hold for one life. */
export const sendToAsker = async (
  { client }: AdviceChannel,
  { step, endpoints }: Extract<DispatchEffect, { kind: 'advise' }>,
  timeoutMs: number,
): Promise<ReadonlyMap<EndpointIncarnation, string> | undefined> => {
  const lives = new Map(endpoints.map((life) => [endpointIncarnations.readEndpoint(life), life]));
  const answer = await client.requestAdvice(step, [...lives.keys()], timeoutMs);
  return (
    answer &&
    new Map(
      [...answer].flatMap(([id, ticket]) => {
        const life = lives.get(id);
        return life === undefined ? [] : [[life, ticket] as const];
      }),
    )
  );
};
