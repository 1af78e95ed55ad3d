package scheduler

// maxRejections is the number of workers that reject a task as malformed after which the task, and not a worker, counts as
// faulty.
const maxRejections = 3

// handleRejected handles a task that a worker rejects as malformed. One worker can be wrong, so others are tried first.
func (s *Scheduler) handleRejected(t *task, id AgentID, reason string) {
	t.rejections++
	t.avoidAgents = append(t.avoidAgents, id)
	if t.rejections >= maxRejections || !s.hasAlternative(t) {
		t.job.rejection = reason
	}
	s.enqueue(t)
}

// answerIfRejected answers a job with a rejected task as soon as it is known whether a task of it has run: Invalid means that
// none has. Until then no further task of it is offered.
func (s *Scheduler) answerIfRejected(j *Job) {
	if j.rejection == "" || j.answered {
		return
	}
	for _, t := range j.tasks {
		if t.state == taskWaiting {
			s.waiting.remove(t)
			t.state = taskBlocked
		}
	}
	switch {
	case j.mayHaveRun():
		s.answerJob(j, GivenUp, "workers reject a task as malformed", 0)
	case !j.hasOpenOffer():
		s.answerJob(j, Invalid, j.rejection, 0)
	}
}

// mayHaveRun reports whether a run of a task of the job has started or may have started. An open offer can still become one.
func (j *Job) mayHaveRun() bool {
	for _, t := range j.tasks {
		if t.mayHaveRun {
			return true
		}
	}
	return false
}

// hasOpenOffer reports whether an agent may have a task of the job.
func (j *Job) hasOpenOffer() bool {
	for _, t := range j.tasks {
		if t.state == taskOffered || t.state == taskUncertain {
			return true
		}
	}
	return false
}
