import type { EndpointLife } from '../../jobs/EndpointLife';
import { endpointLives } from '../../jobs/endpointLives';
import type { DispatchEffect } from '../DispatchEffect';
import type { AdviceAsker } from './AdviceAsker';

/** Asks a question through one box. The service knows endpoints by their ids, tickets hold for one life. */
export const sendToAsker = async (
  { client }: AdviceAsker,
  { step, endpoints }: Extract<DispatchEffect, { kind: 'advise' }>,
  timeoutMs: number,
): Promise<ReadonlyMap<EndpointLife, string> | undefined> => {
  const lives = new Map(endpoints.map((life) => [endpointLives.readEndpoint(life), life]));
  const answer = await client.sendQuestion(step, [...lives.keys()], timeoutMs);
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
