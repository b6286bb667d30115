import type { CallResponse } from '../gateway/CallResponse';

/** Parses the answer of the entry box that a call was sent on to; undefined when it is not understood. */
export const parseForwardAnswer = (header: string | undefined, body: Buffer): CallResponse | undefined => {
  if (header === undefined) {
    return undefined;
  }
  try {
    const answer = JSON.parse(decodeURIComponent(header)) as CallResponse;
    return answer.outcome === 'ran' ? { ...answer, body } : answer;
  } catch {
    return undefined;
  }
};
