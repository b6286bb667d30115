/** Path of the WebSocket endpoint of call relays, at the address for other boxes. */
export const relayPath = '/relay';
