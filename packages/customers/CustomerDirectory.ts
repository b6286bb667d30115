import type { CustomerName } from './CustomerName';
import type { CustomerPolicy } from './CustomerPolicy';
import { toKeyDigest } from './toKeyDigest';

/** The customers of one version of the configuration, indexed by key and by name. */
export class CustomerDirectory {
  private readonly byKeyDigest = new Map<string, CustomerPolicy>();
  private readonly byName = new Map<CustomerName, CustomerPolicy>();

  constructor(customers: readonly CustomerPolicy[]) {
    for (const customer of customers) {
      this.byName.set(customer.name, customer);
      customer.keys.forEach((digest) => this.byKeyDigest.set(digest, customer));
    }
  }

  /** Returns the customer that holds a key; undefined when there is none. */
  findByKey(key: string): CustomerPolicy | undefined {
    return this.byKeyDigest.get(toKeyDigest(key));
  }

  findByName(name: CustomerName): CustomerPolicy | undefined {
    return this.byName.get(name);
  }

  listCustomers(): Iterable<CustomerPolicy> {
    return this.byName.values();
  }
}
