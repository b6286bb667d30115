import type { ServerResponse } from 'node:http';

/** Sends a response with a body that is JSON text. */
export const sendJsonText = (response: ServerResponse, status: number, text: string): void => {
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
};
