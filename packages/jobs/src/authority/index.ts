export {authorityFilter} from './authority-filter.js';
export {createAuthorityState, type AuthorityState, type AuthorityView} from './authority-state.js';
export {
	getConfirmedAt, getConfirmedWallTime, getPermittedMs, orderPermissionMs,
} from './order-permission.js';
export {assignClaims} from './assign-claims.js';
