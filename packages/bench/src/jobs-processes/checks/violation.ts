/** Rules of the platform that a run checks; `EXIT` stands for a process that ended by itself. */
export type Rule = 'TWICE' | 'ORDER' | 'BUDGET' | 'UNASKED' | 'REFUSED' | 'LIMIT' | 'MIXED' | 'LOST' | 'EXIT';

/** A broken rule, with the time in the run. */
export type Violation = {readonly rule: Rule; readonly at: number; readonly message: string};
