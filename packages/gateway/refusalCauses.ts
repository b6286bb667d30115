/** Limits by which a listener refuses a request or closes a connection. */
export const refusalCauses = [
  'connections',
  'requests',
  'requestsAhead',
  'bodyBytes',
  'heldBytes',
  'smallChunks',
  'unreadResponse',
  'missingHost',
] as const;
