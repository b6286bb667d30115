import type { z } from 'zod';
import { parseJson } from '../common/parseJson';

/** Parses a frame of messages between a leader and a call relay; returns undefined if a message is malformed. */
export const parseFrame = <Message>(
  schema: z.ZodType<Message>,
  text: string,
): readonly Message[] | undefined => {
  const parsed = parseJson(text);
  if (!Array.isArray(parsed)) {
    return undefined;
  }
  const messages: Message[] = [];
  for (const item of parsed) {
    const result = schema.safeParse(item);
    if (!result.success) {
      return undefined;
    }
    messages.push(result.data);
  }
  return messages;
};
