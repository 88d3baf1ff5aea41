import {createRandomSource} from '@pistachiogauge/chain';
import {expect, it} from 'vitest';
import {type Endpoint} from '../model/index.js';
import {createTestEndpoint} from '../testing.test-support.js';
import {createDirectoryState, directoryFilter} from './directory-filter.js';

const drained: Partial<Endpoint> = {state: 'draining', startedAt: 5, remainingMs: 900};

// Guards against starts on a draining endpoint whose record was replaced by one that it wrote before.
it.each<{readonly name: string; readonly records: ReadonlyArray<Partial<Endpoint>>; readonly state: Endpoint['state']}>([
	{name: 'a process drains', records: [{startedAt: 5}, drained], state: 'draining'},
	{name: 'an earlier record of the process arrives late', records: [drained, {startedAt: 5}], state: 'draining'},
	{name: 'a record of the process before arrives late', records: [drained, {startedAt: 4}], state: 'draining'},
	{name: 'the next process is ready', records: [drained, {startedAt: 6}], state: 'ready'},
	{name: 'start times are not known', records: [{...drained, startedAt: 0}, {startedAt: 0}], state: 'ready'},
])('an endpoint is listed as $state if $name', ({records, state}) => {
	const directory = createDirectoryState();
	for (const record of records) {
		directoryFilter.handlers['endpoint-changed']!({directory}, {kind: 'endpoint-changed', endpoint: createTestEndpoint('e1', 'desk', record)}, {now: 0, wallTime: 0, random: createRandomSource(1)});
	}

	expect(directory.endpoints.get('e1')?.state).toBe(state);
});
