import { z } from 'zod';
import { parseJson } from '../common/parseJson';

/** Parses a frame, which is a JSON list of messages; returns undefined if it or a message is malformed. */
export const parseFrame = <Message>(
  messageSchema: z.ZodType<Message>,
  text: string,
): readonly Message[] | undefined => z.array(messageSchema).safeParse(parseJson(text)).data;
