/** Units with this prefix are seats of standing replicas; all others are workers. */
export const SEAT_PREFIX = 'seat/';
