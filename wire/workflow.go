package wire

import (
	"time"

	"github.com/plantainladder/plantainladder/codec"
	"github.com/plantainladder/plantainladder/workflow"
)

var workflowPhases = codec.NewUnion(
	codec.Of[workflow.Phase, workflow.Open](),
	codec.Of[workflow.Phase, workflow.Completed](),
	codec.Of[workflow.Phase, workflow.Failed](),
	codec.Of[workflow.Phase, workflow.Cancelled](),
)

// workflowRecord is the encoded form of a workflow.
type workflowRecord struct {
	Spec          workflow.Spec          `json:"spec"`
	QueueSettings workflow.QueueSettings `json:"terms"`
	Submitted     time.Time              `json:"submitted"`
	Phase         []byte                 `json:"phase"`
	HasStarted    bool                   `json:"has-begun"`
	Occurrences   []occurrenceRecord     `json:"occurrences"`
}

type occurrenceRecord struct {
	Steps []stepRecord `json:"steps"`
}

type stepRecord struct {
	Tasks         []taskRecord `json:"tasks"`
	Failures      int          `json:"failures,omitempty"`
	LastFailedRun int          `json:"failed-run,omitempty"`
	Checkpoint    string       `json:"checkpoint,omitempty"`
}

type taskRecord struct {
	Run         int                   `json:"run,omitempty"`
	Failures    int                   `json:"failures,omitempty"`
	Crashes     int                   `json:"crashes,omitempty"`
	Unconfirmed int                   `json:"unconfirmed-crashes,omitempty"`
	Silent      int                   `json:"silent-losses,omitempty"`
	Losses      []workflow.SilentLoss `json:"unresolved-losses,omitempty"`
	Stalls      int                   `json:"stalls,omitempty"`
	CrashedAt   time.Time             `json:"crashed-at,omitzero"`
	Checkpoint  string                `json:"checkpoint,omitempty"`
	Finished    bool                  `json:"finished,omitempty"`
	Worker      string                `json:"worker,omitempty"`
	Incarnation int64                 `json:"born,omitempty"`
	At          time.Time             `json:"at,omitzero"`
}

func fromWorkflow(w workflow.Workflow) (r workflowRecord, err error) {
	phase, err := workflowPhases.Marshal(w.Phase)
	r = workflowRecord{
		Spec:          w.Spec,
		QueueSettings: w.QueueSettings,
		Submitted:     w.Submitted,
		Phase:         phase,
		HasStarted:    w.HasStarted,
	}
	for _, o := range w.Occurrences {
		var record occurrenceRecord
		for _, s := range o.Steps {
			record.Steps = append(record.Steps, fromStepState(s))
		}
		r.Occurrences = append(r.Occurrences, record)
	}
	return r, err
}

func fromStepState(s workflow.StepState) stepRecord {
	r := stepRecord{
		Tasks:         make([]taskRecord, len(s.Tasks)),
		Failures:      s.Failures,
		LastFailedRun: s.LastFailedRun,
		Checkpoint:    s.Checkpoint,
	}
	for i, t := range s.Tasks {
		r.Tasks[i] = fromTask(t)
	}
	return r
}

func fromTask(t workflow.Task) taskRecord {
	r := taskRecord{
		Run:         t.Run,
		Failures:    t.Failures,
		Crashes:     t.Crashes,
		CrashedAt:   t.CrashedAt,
		Unconfirmed: t.UnconfirmedCrashes,
		Silent:      t.SilentLosses,
		Losses:      t.UnresolvedLosses,
		Stalls:      t.Stalls,
		Checkpoint:  t.Checkpoint,
	}
	switch p := t.TaskState.(type) {
	case workflow.Waiting:
	case workflow.Placed:
		r.Worker, r.Incarnation, r.At = p.Worker, p.Incarnation, p.At
	case workflow.Succeeded:
		r.Finished = true
	}
	return r
}

func (r workflowRecord) toWorkflow() (w workflow.Workflow, err error) {
	phase, err := workflowPhases.Unmarshal(r.Phase)
	w = workflow.Workflow{
		Spec:          r.Spec,
		QueueSettings: r.QueueSettings,
		Submitted:     r.Submitted,
		Phase:         phase,
		HasStarted:    r.HasStarted,
	}
	for _, o := range r.Occurrences {
		var occurrence workflow.Occurrence
		for _, s := range o.Steps {
			occurrence.Steps = append(occurrence.Steps, s.toStepState())
		}
		w.Occurrences = append(w.Occurrences, occurrence)
	}
	return w, err
}

func (r stepRecord) toStepState() workflow.StepState {
	s := workflow.StepState{
		Tasks:         make([]workflow.Task, len(r.Tasks)),
		Failures:      r.Failures,
		LastFailedRun: r.LastFailedRun,
		Checkpoint:    r.Checkpoint,
	}
	for i, t := range r.Tasks {
		s.Tasks[i] = t.toTask()
	}
	return s
}

func (r taskRecord) toTask() workflow.Task {
	t := workflow.Task{
		Run:                r.Run,
		Failures:           r.Failures,
		Crashes:            r.Crashes,
		CrashedAt:          r.CrashedAt,
		UnconfirmedCrashes: r.Unconfirmed,
		SilentLosses:       r.Silent,
		UnresolvedLosses:   r.Losses,
		Stalls:             r.Stalls,
		Checkpoint:         r.Checkpoint,
	}
	switch {
	case r.Finished:
		return t.WithState(workflow.Succeeded{})
	case r.Worker != "":
		return t.WithState(workflow.Placed{
			Worker:      r.Worker,
			Incarnation: r.Incarnation,
			At:          r.At,
		})
	}
	return t.WithState(workflow.Waiting{})
}
