/** Time for which a member waits for the others of its run. */
const gangTimeoutMs = 3000;

/** What the workers share about gangs: a run begins to work once all its members are present, all of them end together, and a member that waits for too long ends `alone`. */
export function createGangs() {
	const gangs = new Map();
	return {
		/** Adds a member that a worker has started; `end` ends it there. */
		join({task, run, size, durationMs, end}) {
			const step = task.slice(0, task.lastIndexOf('.'));
			const key = `${step}/${run}`;
			const gang = gangs.get(key) ?? {members: new Map(), isAtWork: false};
			gangs.set(key, gang);
			const timer = setTimeout(() => {
				end('alone');
			}, gangTimeoutMs);
			gang.members.set(task, {end, timer});
			if (gang.members.size < size) {
				return;
			}

			gang.isAtWork = true;
			for (const member of gang.members.values()) {
				clearTimeout(member.timer);
				member.timer = setTimeout(member.end, durationMs, 'done');
			}
		},
		/** Removes a member that has ended; the others of a gang at work end with it. */
		leave({task, run, how}) {
			const step = task.slice(0, task.lastIndexOf('.'));
			const gang = gangs.get(`${step}/${run}`);
			const member = gang?.members.get(task);
			if (member === undefined) {
				return;
			}

			clearTimeout(member.timer);
			gang.members.delete(task);
			if (gang.isAtWork && how !== 'done') {
				for (const other of gang.members.values()) {
					other.end('broken');
				}
			}
		},
	};
}
