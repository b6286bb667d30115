import type { CallResponse } from '../gateway/CallResponse';
import { headerNames } from '../gateway/headerNames';

interface ForwardAnswer {
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
}

/** Formats an answer for the entry box that sent the call on. */
export const formatForwardAnswer = (answer: CallResponse): ForwardAnswer => {
  const { body, rest } =
    answer.outcome === 'ran'
      ? { body: answer.body, rest: { ...answer, body: undefined } }
      : { body: Buffer.alloc(0), rest: answer };
  return { headers: { [headerNames.answer]: encodeURIComponent(JSON.stringify(rest)) }, body };
};
