"""Let no queued call begin that its deadline would cut.

On where the policy of queues says so; otherwise a queued call may begin until a quarter
of its target time is left.

Promises: a queued call is refused, and was not run, once what is left of its time is
less than its route's answers lately took; a call that finds room at once is never
refused for this. Limits: nothing is known of a route until a few answers have ended.
Invariants: estimates are bounded in number and by half of a call's time.
"""
