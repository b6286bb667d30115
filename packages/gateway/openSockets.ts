import type { Server } from 'node:http';
import type { Socket } from 'node:net';

const sockets = new WeakMap<Server, Set<Socket>>();

/** The connections of servers, also those that were upgraded, which Node's own list does not hold. */
export const openSockets = {
  /** Notes each connection of a server from now on, until it closes. */
  startRecording: (server: Server): void => {
    const open = new Set<Socket>();
    sockets.set(server, open);
    server.on('connection', (socket) => {
      open.add(socket);
      socket.once('close', () => open.delete(socket));
    });
  },

  /** Ends all connections of a server at once. */
  stopAll: (server: Server): void => sockets.get(server)?.forEach((socket) => socket.destroy()),
} as const;
