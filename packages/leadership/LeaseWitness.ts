import type { BoxProcess } from './BoxProcess';

/** A process of another box that a leader has named as a witness of its leases. */
export type LeaseWitness = Pick<BoxProcess, 'box' | 'address' | 'process'>;
